/** Connections between processes of pollenspar, and deadlines of HTTP connections. */
@NullMarked
package org.pollenspar.net.connection;

import org.jspecify.annotations.NullMarked;
