/** The operators' command line; one class per subcommand. */
@NullMarked
package org.pollenspar.cli;

import org.jspecify.annotations.NullMarked;
