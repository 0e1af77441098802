/** Versioned data of the database stand-in: tables, locks, the log and its positions. */
@NullMarked
package org.pollenspar.standin.version;

import org.jspecify.annotations.NullMarked;
