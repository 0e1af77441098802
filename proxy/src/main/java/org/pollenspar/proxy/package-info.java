/** Placeholder. */
@NullMarked
package org.pollenspar.proxy;

import org.jspecify.annotations.NullMarked;
