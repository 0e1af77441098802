/** The command line for operators, with one class per subcommand. */
@NullMarked
package org.pollenspar.cli;

import org.jspecify.annotations.NullMarked;
