/** State with the lifetime of a configuration version: the fleet file and its distribution. */
@NullMarked
package org.pollenspar.core.version;

import org.jspecify.annotations.NullMarked;
