/**
 * Plans shares of work: which part of each account range's work goes to which of its replicas, so that the utilisation of the
 * most used node is least, then that of the next, and so on (a max-min fair, that is lexicographically least, assignment); among
 * those, the one of least traffic between zones.
 *
 * <p>No I/O, no clock, no threads: a {@link pepperdock.plan.Problem} goes in, a {@link pepperdock.plan.Plan} or a
 * {@link pepperdock.plan.Conflict} comes out, the same for the same problem. The linear programs are solved by ojAlgo. Work and
 * capacity are integers, and every utilisation reported is the exact quotient of two sums of them, not a solver's decimal.
 */
package pepperdock.plan;
