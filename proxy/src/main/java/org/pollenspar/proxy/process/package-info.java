/** The proxy process: options, homes of groups, listeners, status and shutdown. */
@NullMarked
package org.pollenspar.proxy.process;

import org.jspecify.annotations.NullMarked;
