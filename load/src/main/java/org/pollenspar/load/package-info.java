/** Placeholder. */
@NullMarked
package org.pollenspar.load;

import org.jspecify.annotations.NullMarked;
