/** The failover agent: watches groups of databases and orders promotions. */
@NullMarked
package org.pollenspar.failover;

import org.jspecify.annotations.NullMarked;
