/** The stand-ins of the platform and of a database, and their command line. */
@NullMarked
package org.pollenspar.standin.process;

import org.jspecify.annotations.NullMarked;
