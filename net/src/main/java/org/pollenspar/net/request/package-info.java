/** One HTTP request and its reply. */
@NullMarked
package org.pollenspar.net.request;

import org.jspecify.annotations.NullMarked;
