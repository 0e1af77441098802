/** What lives as long as a configuration version: how it reaches this process. */
@NullMarked
package org.pollenspar.net.version;

import org.jspecify.annotations.NullMarked;
