/** A load run: plan, arrivals, statistics, checks of the guarantees, and report. */
@NullMarked
package org.pollenspar.load.process;

import org.jspecify.annotations.NullMarked;
