#include "budget.h"

#include <glib.h>

#define BUDGET_SEND_CREDIT 1000000ull

void budget_init(struct budget *budget, uint32_t share_ppm, uint32_t burst)
{
	budget->share_ppm = share_ppm;
	budget->burst = burst;
	budget->credit = burst * BUDGET_SEND_CREDIT;
}

void budget_earn(struct budget *budget)
{
	budget->credit = MIN(budget->credit + budget->share_ppm,
			     budget->burst * BUDGET_SEND_CREDIT);
}

bool budget_spend(struct budget *budget)
{
	if (budget->credit < BUDGET_SEND_CREDIT)
		return false;
	budget->credit -= BUDGET_SEND_CREDIT;
	return true;
}
