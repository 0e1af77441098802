/** What lives as long as a request: work, outcomes, admission, routing, retries. */
@NullMarked
package org.pollenspar.core.request;

import org.jspecify.annotations.NullMarked;
