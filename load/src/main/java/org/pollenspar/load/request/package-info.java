/** Requests of simulated callers and the answers to them. */
@NullMarked
package org.pollenspar.load.request;

import org.jspecify.annotations.NullMarked;
