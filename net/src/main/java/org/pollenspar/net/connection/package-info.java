/** Connections between processes of pollenspar. */
@NullMarked
package org.pollenspar.net.connection;

import org.jspecify.annotations.NullMarked;
