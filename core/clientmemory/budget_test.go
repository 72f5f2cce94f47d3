package clientmemory

import (
	"math/rand/v2"
	"testing"
)

// TestBudget_SumsItsAccounts changes accounts at random: the budget always is their sum, and its peak the largest sum.
func TestBudget_SumsItsAccounts(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	var budget Budget
	accounts := make([]Account, 5)
	for i := range accounts {
		accounts[i] = budget.NewAccount()
	}
	peak := 0
	for range 10_000 {
		account := &accounts[random.IntN(len(accounts))]
		kind := Kind(random.IntN(int(kindCount)))
		switch random.IntN(10) {
		case 0:
			account.Release()
		case 1, 2, 3:
			account.Add(kind, random.IntN(1000))
		default:
			account.Set(kind, random.IntN(1000))
		}
		sum := 0
		for i := range accounts {
			sum += accounts[i].Total()
		}
		peak = max(peak, sum)
		if budget.Total() != sum || budget.Usage().Total() != sum || budget.Peak().Total() != peak {
			t.Fatalf("the accounts hold %d, at most %d; the budget says %d, %v and at most %v", sum, peak, budget.Total(), budget.Usage(), budget.Peak())
		}
	}
}
