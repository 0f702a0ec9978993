#include "common/str.h"
#include "tests/lib_suite.h"

START_TEST(only_identical_secrets_compare_equal)
{
	static const struct {
		str_t a, b;
		bool is_equal;
	} cases[] = {
		{ STR_LIT("secret"), STR_LIT("secret"), true },
		{ STR_LIT("secres"), STR_LIT("secret"), false },
		{ STR_LIT("Xecret"), STR_LIT("secret"), false },
		{ STR_LIT("secre"), STR_LIT("secret"), false },
		{ STR_LIT("secrett"), STR_LIT("secret"), false },
		{ STR_LIT(""), STR_LIT("secret"), false },
		{ STR_LIT("secret"), STR_LIT(""), false },
		{ STR_LIT(""), STR_LIT(""), true },
	};

	for (size_t i = 0; i < sizeof(cases) / sizeof(cases[0]); i++)
		ck_assert_msg(str_eq_const_time(cases[i].a, cases[i].b) ==
				      cases[i].is_equal,
			      "case %zu", i);
}
END_TEST

SUITE_MAIN("str", only_identical_secrets_compare_equal)
