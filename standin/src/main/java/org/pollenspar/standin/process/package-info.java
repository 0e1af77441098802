/** Stand-ins of the platform and of a database for trials and tests, and their command line. */
@NullMarked
package org.pollenspar.standin.process;

import org.jspecify.annotations.NullMarked;
