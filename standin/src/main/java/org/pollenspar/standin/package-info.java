/** Placeholder. */
@NullMarked
package org.pollenspar.standin;

import org.jspecify.annotations.NullMarked;
