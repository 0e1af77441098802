/** One connection of a caller to the database stand-in. */
@NullMarked
package org.pollenspar.standin.connection;

import org.jspecify.annotations.NullMarked;
