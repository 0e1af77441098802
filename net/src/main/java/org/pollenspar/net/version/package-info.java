/** How the configuration and the host list reach this process, from the platform and from peers. */
@NullMarked
package org.pollenspar.net.version;

import org.jspecify.annotations.NullMarked;
