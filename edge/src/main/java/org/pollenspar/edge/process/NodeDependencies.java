package org.pollenspar.edge.process;

import java.util.function.Function;
import org.jspecify.annotations.Nullable;
import org.pollenspar.core.connection.BrokerMessages;
import org.pollenspar.core.connection.CallerBackpressure;
import org.pollenspar.core.connection.HomeChannel;
import org.pollenspar.core.connection.PhysicalConnection;
import org.pollenspar.core.connection.QuotaMessages;
import org.pollenspar.core.process.Clocks;
import org.pollenspar.core.process.CoordinationStore;
import org.pollenspar.core.process.DatabaseControl;
import org.pollenspar.core.process.FleetMessages;
import org.pollenspar.core.process.Member;
import org.pollenspar.core.process.PromotionService;
import org.pollenspar.core.process.Regions;
import org.pollenspar.core.process.Timers;
import org.pollenspar.core.request.DatabaseCommand;
import org.pollenspar.core.version.QuotaWindow;

/**
 * The services and settings that an {@link EdgeNode} is built from.
 *
 * @param self this host as a member of the fleet
 * @param regions regions of all failure domains
 * @param messages sends requests to other members
 * @param brokerMessages sends permit requests to the brokers on other members
 * @param quotaWindow how the platform measures limits on the rates of organisations
 * @param homeChannels finds connections to the home hosts of groups
 * @param connector opens connections to databases
 * @param statusDecoder decodes the row that answers {@link DatabaseCommand.Status}; returns null if
 *     the row can't be decoded
 * @param backpressure counts the bytes that this process holds for callers
 */
public record NodeDependencies(
    Member self,
    Regions regions,
    Clocks clocks,
    Timers timers,
    CoordinationStore store,
    FleetMessages messages,
    BrokerMessages brokerMessages,
    QuotaMessages quotaMessages,
    QuotaWindow quotaWindow,
    HomeChannel.Directory homeChannels,
    PromotionService promotions,
    PhysicalConnection.Opener connector,
    Function<String, DatabaseControl.@Nullable DatabaseStatus> statusDecoder,
    CallerBackpressure backpressure,
    EventLog log,
    EdgeMetrics metrics) {}
