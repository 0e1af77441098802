/** The parts of an edge process that exist once: clocks, timers, log, metrics and their wiring. */
@NullMarked
package org.pollenspar.edge.process;

import org.jspecify.annotations.NullMarked;
