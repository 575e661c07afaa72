#ifndef SUITE_H
#define SUITE_H

/** @file suite.h main() of a test program that runs one suite of tests. */

#include <check.h>
#include <stdlib.h>

/** Adds a case, which CK_RUN_CASE selects by its name, to a suite. */
static inline void suite_add_case(Suite *suite, const char *name,
				  const TTest *const tests[], size_t nr_tests)
{
	TCase *tcase = tcase_create(name);

	tcase_set_timeout(tcase, 100);
	for (size_t i = 0; i < nr_tests; i++)
		tcase_add_test(tcase, tests[i]);
	suite_add_tcase(suite, tcase);
}

/** Runs the suite, frees it and returns the program's exit status. */
static inline int suite_run_all(Suite *suite)
{
	SRunner *runner = srunner_create(suite);
	int failed;

	srunner_run_all(runner, CK_NORMAL);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}

/** Runs the tests and returns the program's exit status. */
static inline int suite_run(const char *name, const TTest *const tests[],
			    size_t nr_tests)
{
	Suite *suite = suite_create(name);

	suite_add_case(suite, name, tests, nr_tests);
	return suite_run_all(suite);
}

/* Defines main(): SUITE_MAIN("name", test_a, test_b) */
#define SUITE_MAIN(name, ...)                                       \
	int main(void)                                              \
	{                                                           \
		const TTest *const suite_tests[] = { __VA_ARGS__ }; \
                                                                    \
		return suite_run(name, suite_tests,                 \
				 sizeof(suite_tests) /              \
					 sizeof(suite_tests[0]));   \
	}

#endif /* SUITE_H */
