/** What lives as long as the edge process: clocks, timers, log, metrics, wiring. */
@NullMarked
package org.pollenspar.edge.process;

import org.jspecify.annotations.NullMarked;
