/**
 * Runs {@link pepperdock.membership.Membership} on sockets: {@link pepperdock.membership.transport.MembershipService}
 * opens a UDP and a TCP port on the loop, {@code MembershipMessageCodec} encodes messages as CBOR, {@code
 * MembershipEndpoint} serves {@code GET /members}, and {@link pepperdock.membership.transport.MembershipEvents} writes
 * events for the test rig. All of it runs on the loop's thread.
 */
package pepperdock.membership.transport;
