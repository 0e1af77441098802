/** The program {@code pollenspar-proxy}. */
@NullMarked
package org.pollenspar.proxy;

import org.jspecify.annotations.NullMarked;
