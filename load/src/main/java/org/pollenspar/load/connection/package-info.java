/** Session of a simulated caller, whose requests go to any of the proxies. */
@NullMarked
package org.pollenspar.load.connection;

import org.jspecify.annotations.NullMarked;
