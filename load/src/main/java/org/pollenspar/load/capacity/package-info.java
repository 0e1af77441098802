/** Experiment that measures how the cost of each part grows with its size. */
@NullMarked
package org.pollenspar.load.capacity;

import org.jspecify.annotations.NullMarked;
