/**
 * Computes which share of each account range's work goes to which of its replicas. The assignment is max-min fair: the
 * utilisation of the most used node is least, then that of the next, and so on (lexicographically least). Among such
 * assignments, the one of least traffic between zones is taken.
 *
 * <p>The planner uses no I/O, clock or threads: it turns a {@link pepperdock.plan.Problem} into a
 * {@link pepperdock.plan.Plan} or a {@link pepperdock.plan.Conflict}, always the same for the same problem. The linear
 * programs are solved by ojAlgo. Work and capacity are integers, and every utilisation reported is the exact quotient
 * of two sums of them, not the solver's floating-point result.
 */
package pepperdock.plan;
