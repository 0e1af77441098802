/** The load run: plan, schedule, statistics, checks and report. */
@NullMarked
package org.pollenspar.load.process;

import org.jspecify.annotations.NullMarked;
