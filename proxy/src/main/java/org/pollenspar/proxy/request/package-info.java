/** What lives as long as one request: parsing, routing to a home, execution, the answer. */
@NullMarked
package org.pollenspar.proxy.request;

import org.jspecify.annotations.NullMarked;
