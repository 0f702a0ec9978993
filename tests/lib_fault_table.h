/* The table of all fault cases. */
#ifndef TESTS_LIB_FAULT_TABLE_H
#define TESTS_LIB_FAULT_TABLE_H

#include "tests/lib_case.h"

extern const fault_case_t fault_table[];
extern const size_t fault_table_size;

#endif
