/** A caller session that roams over the proxies. */
@NullMarked
package org.pollenspar.load.connection;

import org.jspecify.annotations.NullMarked;
