/** Placeholder. */
@NullMarked
package org.pollenspar.cli;

import org.jspecify.annotations.NullMarked;
