/**
 * Parts that a process has once: the platform's client, the control thread, settings, logging and
 * HTTP listeners.
 */
@NullMarked
package org.pollenspar.net.process;

import org.jspecify.annotations.NullMarked;
