#include "libproxy/entrycontext.h"

namespace amaranthward {

RetryBudget *EntryContext::budget(const ServiceName &Service) {
  auto Found = this->Budgets.find(Service);
  if (Found == this->Budgets.end()) {
    RetryBudgetSettings Settings;
    Settings.Ratio = this->State.View->limits().RetryBudget;
    auto Made = RetryBudget::create(Settings, this->Loop.now());
    if (!Made)
      return nullptr;
    Found = this->Budgets.emplace(Service, *Made).first;
  }
  return &Found->second;
}

} // namespace amaranthward
