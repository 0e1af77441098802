/** What lives as long as a connection between edge processes. */
@NullMarked
package org.pollenspar.edge.connection;

import org.jspecify.annotations.NullMarked;
