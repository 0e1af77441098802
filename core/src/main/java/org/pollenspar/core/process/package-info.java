/**
 * Classes whose state lives as long as the process: membership and failover, host list, errors,
 * invariants, timeline.
 */
@NullMarked
package org.pollenspar.core.process;

import org.jspecify.annotations.NullMarked;
