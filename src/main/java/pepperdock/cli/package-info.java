/**
 * The commands other than {@code serve}, {@code drill} and {@code rehearse}: planning, configuration checks,
 * simulations, fault injection, benchmarks and queries of the membership. A serving gatherer loads neither this package
 * nor its parser library. Exit status: 0 success, 1 failure, 2 faulty input or usage, 3 no solution.
 */
package pepperdock.cli;
