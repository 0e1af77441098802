/** The failover agent: what lives as long as its process. */
@NullMarked
package org.pollenspar.failover.process;

import org.jspecify.annotations.NullMarked;
