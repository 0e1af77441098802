/** State with the lifetime of a request: work, outcomes, admission control, routing and retries. */
@NullMarked
package org.pollenspar.core.request;

import org.jspecify.annotations.NullMarked;
