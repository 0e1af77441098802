/** The path of a request at the entry: parsing, forwarding to a home, and the reply. */
@NullMarked
package org.pollenspar.proxy.request;

import org.jspecify.annotations.NullMarked;
