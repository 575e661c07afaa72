#ifndef SUITE_H
#define SUITE_H

/** @file suite.h main() of a test program that runs one suite of tests. */

#include <check.h>
#include <stdlib.h>

/** Runs the tests and returns the program's exit status. */
static inline int suite_run(const char *name, const TTest *const tests[],
			    size_t nr_tests)
{
	Suite *suite = suite_create(name);
	TCase *tcase = tcase_create(name);
	SRunner *runner;
	int failed;

	tcase_set_timeout(tcase, 100);
	for (size_t i = 0; i < nr_tests; i++)
		tcase_add_test(tcase, tests[i]);
	suite_add_tcase(suite, tcase);
	runner = srunner_create(suite);
	srunner_run_all(runner, CK_NORMAL);
	failed = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
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
