/** Connections and messages between the edge processes of one fleet. */
@NullMarked
package org.pollenspar.edge.connection;

import org.jspecify.annotations.NullMarked;
