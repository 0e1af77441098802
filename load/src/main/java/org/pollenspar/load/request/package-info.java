/** One request of a caller and its answer. */
@NullMarked
package org.pollenspar.load.request;

import org.jspecify.annotations.NullMarked;
