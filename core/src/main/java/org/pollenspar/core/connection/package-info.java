/** What lives as long as a connection: positions, sessions, group state, limits. */
@NullMarked
package org.pollenspar.core.connection;

import org.jspecify.annotations.NullMarked;
