/**
 * What lives as long as the process: the platform's client, the control thread, settings,
 * listeners.
 */
@NullMarked
package org.pollenspar.net.process;

import org.jspecify.annotations.NullMarked;
