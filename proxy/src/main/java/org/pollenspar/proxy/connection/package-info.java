/** What lives as long as a database connection: its exchanges, its pool and its prober. */
@NullMarked
package org.pollenspar.proxy.connection;

import org.jspecify.annotations.NullMarked;
