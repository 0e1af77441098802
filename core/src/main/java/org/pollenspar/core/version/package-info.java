/** What lives as long as a configuration version: the applied file and how it spreads. */
@NullMarked
package org.pollenspar.core.version;

import org.jspecify.annotations.NullMarked;
