/** HTTP requests and replies: the values, their handler, and the collection of bodies. */
@NullMarked
package org.pollenspar.net.request;

import org.jspecify.annotations.NullMarked;
