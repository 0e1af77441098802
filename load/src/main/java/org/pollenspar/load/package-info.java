/** Load generator: open-loop callers, promise checks and reports. */
@NullMarked
package org.pollenspar.load;

import org.jspecify.annotations.NullMarked;
