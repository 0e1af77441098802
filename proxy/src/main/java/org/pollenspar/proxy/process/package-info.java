/** What lives as long as the proxy: settings, group homes, listeners, status and shutdown. */
@NullMarked
package org.pollenspar.proxy.process;

import org.jspecify.annotations.NullMarked;
