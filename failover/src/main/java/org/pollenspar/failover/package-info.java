/** Placeholder. */
@NullMarked
package org.pollenspar.failover;

import org.jspecify.annotations.NullMarked;
