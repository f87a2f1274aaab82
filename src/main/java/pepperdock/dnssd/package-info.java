/**
 * Endpoint discovery from DNS-SD records (RFC 6763) over unicast DNS: PTR records name the instances, SRV, TXT and
 * address records describe each. State is owned by the I/O thread; the resolver library's threads only carry datagrams.
 */
package pepperdock.dnssd;
